/** Stand-ins for the users' platform, implemented from its published documentation. */
package org.lycheeroad.standins.platform;
