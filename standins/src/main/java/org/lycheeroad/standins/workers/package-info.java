/** Stand-ins for the workers that run gang tasks, and a checker for partial runs. */
package org.lycheeroad.standins.workers;
