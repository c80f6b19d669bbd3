/** Benchmarks of the placement core. */
package org.lycheeroad.benchmarks;
