/**
 * Decides which waiting work is served first, later or last when there is too little room for all
 * of it.
 */
package org.lycheeroad.coordination.overload;
