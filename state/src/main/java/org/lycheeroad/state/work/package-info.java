/** Jobs of steps, their tasks and runs, and the configuration that governs them. */
package org.lycheeroad.state.work;
