/** Routing of requests to targets: queueing, load balancing, rate limits and health checks. */
package org.lycheeroad.coordination.routing;
