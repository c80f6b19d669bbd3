/** Messages of the etcd v3 HTTP/JSON gateway. */
package org.lycheeroad.protocol.store;
