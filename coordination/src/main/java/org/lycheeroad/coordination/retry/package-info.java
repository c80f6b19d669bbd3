/** Retry budgets and back-off between attempts. */
package org.lycheeroad.coordination.retry;
