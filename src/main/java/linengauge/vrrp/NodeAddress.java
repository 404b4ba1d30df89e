package linengauge.vrrp;

import java.util.Arrays;

/**
 * An IPv4 or IPv6 address as its bytes in network order; ordered as unsigned numbers, as ties are
 * (RFC 9568, 6.4.3).
 */
public record NodeAddress(byte[] bytes) implements Comparable<NodeAddress> {
  /**
   * @throws IllegalArgumentException where there are not 4 or 16 bytes
   */
  public NodeAddress {
    if (bytes.length != 4 && bytes.length != 16) {
      throw new IllegalArgumentException("an address has 4 or 16 bytes, not " + bytes.length);
    }
    bytes = bytes.clone();
  }

  /** An IPv4 address from its four numbers. */
  public static NodeAddress of(int a, int b, int c, int d) {
    return new NodeAddress(new byte[] {(byte) a, (byte) b, (byte) c, (byte) d});
  }

  public boolean isIpv6() {
    return bytes.length == 16;
  }

  /** RFC 5771 and RFC 4291, section 2.7. */
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
    return other instanceof NodeAddress a && Arrays.equals(bytes, a.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    StringBuilder s = new StringBuilder();
    for (int i = 0; i < bytes.length; i += isIpv6() ? 2 : 1) {
      s.append(i == 0 ? "" : isIpv6() ? ":" : ".");
      s.append(
          isIpv6()
              ? Integer.toHexString((bytes[i] & 255) << 8 | bytes[i + 1] & 255)
              : "" + (bytes[i] & 255));
    }
    return s.toString();
  }
}
