/** Load generators and checks of the demo. */
package org.lycheeroad.standins.demo;
