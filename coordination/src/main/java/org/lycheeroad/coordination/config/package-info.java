/** Selection of the active version of the operators' table. */
package org.lycheeroad.coordination.config;
