/** Stand-ins for the users' platform, written from its published pages. */
package org.lycheeroad.standins.platform;
