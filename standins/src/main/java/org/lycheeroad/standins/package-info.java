/** Stand-ins for the parts of the platform that tests and the demo run against. */
package org.lycheeroad.standins;
