/** Value types for identifiers. */
package org.lycheeroad.state.id;
