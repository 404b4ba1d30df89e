package linengauge.vrrp;

import java.util.Arrays;

/**
 * An IPv4 or IPv6 address as bytes in network order. Addresses are compared as unsigned numbers, as
 * ties are broken that way (RFC 9568, section 6.4.3).
 */
public record NodeAddress(byte[] bytes) implements Comparable<NodeAddress> {
  /**
   * @throws IllegalArgumentException if there are not 4 or 16 bytes
   */
  public NodeAddress {
    if (bytes.length != 4 && bytes.length != 16) {
      throw new IllegalArgumentException("an address has 4 or 16 bytes, not " + bytes.length);
    }
    bytes = bytes.clone();
  }

  /** Returns the IPv4 address with the given octets. */
  public static NodeAddress of(int a, int b, int c, int d) {
    return new NodeAddress(new byte[] {(byte) a, (byte) b, (byte) c, (byte) d});
  }

  public boolean isIpv6() {
    return bytes.length == 16;
  }

  /** Returns whether this is a multicast address (RFC 5771; RFC 4291, section 2.7). */
  public boolean isMulticast() {
    return isIpv6() ? bytes[0] == (byte) 0xff : (bytes[0] & 0xf0) == 0xe0;
  }

  @Override
  public byte[] bytes() {
    return bytes.clone();
  }

  @Override
  public int compareTo(NodeAddress other) {
    return bytes.length != other.bytes.length
        ? Integer.compare(bytes.length, other.bytes.length)
        : Arrays.compareUnsigned(bytes, other.bytes);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof NodeAddress address && Arrays.equals(bytes, address.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < bytes.length; i += isIpv6() ? 2 : 1) {
      text.append(i == 0 ? "" : isIpv6() ? ":" : ".");
      text.append(
          isIpv6()
              ? Integer.toHexString((bytes[i] & 255) << 8 | bytes[i + 1] & 255)
              : "" + (bytes[i] & 255));
    }
    return text.toString();
  }
}
