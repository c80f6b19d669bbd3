/** Election of role holders, with fencing tokens. */
package org.lycheeroad.coordination.roles;
