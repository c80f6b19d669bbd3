/** Stand-in for the platform's key-value store, which speaks the etcd v3 JSON gateway protocol. */
package org.lycheeroad.standins.store;
