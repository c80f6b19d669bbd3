/** Stand-in for the platform's VM list. */
package org.lycheeroad.standins.vms;
