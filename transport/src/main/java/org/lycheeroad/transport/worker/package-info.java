/** Client for the workers' order and report API. */
package org.lycheeroad.transport.worker;
