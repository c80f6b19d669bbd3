/** Stand-ins for the targets that run requests. */
package org.lycheeroad.standins.targets;
