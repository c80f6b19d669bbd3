/** Gang jobs and their life cycle. */
package org.lycheeroad.state.job;
