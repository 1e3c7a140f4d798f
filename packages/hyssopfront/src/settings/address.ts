import { BlockList, isIPv6 } from "node:net";

const UNROUTABLE_ADDRESSES = new BlockList();
UNROUTABLE_ADDRESSES.addSubnet("0.0.0.0", 8, "ipv4");
UNROUTABLE_ADDRESSES.addSubnet("224.0.0.0", 4, "ipv4");
UNROUTABLE_ADDRESSES.addSubnet("240.0.0.0", 4, "ipv4");
UNROUTABLE_ADDRESSES.addAddress("::", "ipv6");
UNROUTABLE_ADDRESSES.addSubnet("ff00::", 8, "ipv6");

/**
 * Returns whether other processes can connect to the address, which is not a wildcard, multicast or reserved address.
 * Loopback addresses count as routable, because several instances may run on one machine in tests.
 *
 * @param address A valid IP address.
 */
export function isRoutableAddress(address: string): boolean {
    return !UNROUTABLE_ADDRESSES.check(address, isIPv6(address) ? "ipv6" : "ipv4");
}
