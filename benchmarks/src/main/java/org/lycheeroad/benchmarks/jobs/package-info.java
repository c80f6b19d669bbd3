/** Benchmarks of the job scheduler with simulated callers and workers in virtual time. */
package org.lycheeroad.benchmarks.jobs;
