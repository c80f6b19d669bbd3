/** A model of callers and workers in virtual time that drives the scheduler's real decisions. */
package org.lycheeroad.benchmarks.jobs;
