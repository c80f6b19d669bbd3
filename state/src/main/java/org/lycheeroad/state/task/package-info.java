/** Gang tasks on workers, and the orders that control them. */
package org.lycheeroad.state.task;
