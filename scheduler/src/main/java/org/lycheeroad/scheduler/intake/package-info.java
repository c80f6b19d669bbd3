/** The API through which callers submit, query and cancel jobs. */
package org.lycheeroad.scheduler.intake;
