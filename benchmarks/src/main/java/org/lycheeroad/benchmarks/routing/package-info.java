/** Comparison of request routers in a discrete-event simulation. */
package org.lycheeroad.benchmarks.routing;
