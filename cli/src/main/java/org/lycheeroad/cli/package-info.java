/** Command line for submitting work to entries and operating them. */
package org.lycheeroad.cli;
