/** Numbered events of the timeline. */
package org.lycheeroad.state.event;
