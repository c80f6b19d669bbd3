/** Accelerator shapes that gangs request. */
package org.lycheeroad.state.shape;
