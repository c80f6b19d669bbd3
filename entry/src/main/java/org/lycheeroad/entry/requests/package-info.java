/** Admission of callers' requests and their forwarding to targets. */
package org.lycheeroad.entry.requests;
