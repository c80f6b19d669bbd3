/** The decision whether a new job is accepted. */
package org.lycheeroad.coordination.admission;
