/** Multi-step jobs, their tasks and runs, and the cluster configuration. */
package org.lycheeroad.state.work;
