package linengauge.vrrp;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import linengauge.Span;

/**
 * Advertisements as bytes (RFC 9568, section 5.2):
 *
 * <pre>
 *  0                   1                   2                   3
 * |Version| Type  | Virtual Rtr ID|    Priority   |  IPvX Count   |
 * |(rsvd) |  Max Advertise Interval |          Checksum           |
 * |                      IPvX addresses ...                       |
 * </pre>
 */
public final class PacketCodec {
  private static final int VERSION = 3;
  private static final int ADVERTISEMENT = 1;
  private static final int HEADER_BYTES = 8;

  /**
   * The IP protocol number of VRRP (section 5.1), which the pseudo-header names though the packet
   * is carried over UDP.
   */
  private static final int PROTOCOL = 112;

  private final boolean pseudoHeaderForIpv4;

  /**
   * @param pseudoHeaderForIpv4 whether IPv4 checksums cover a pseudo-header too, as routers of RFC
   *     5798 may have it; RFC 9568 (5.2.8) has one for IPv6 only
   */
  public PacketCodec(boolean pseudoHeaderForIpv4) {
    this.pseudoHeaderForIpv4 = pseudoHeaderForIpv4;
  }

  /** The bytes of an advertisement between two addresses, which the checksum may cover. */
  public byte[] encode(Advertisement a, NodeAddress from, NodeAddress to) {
    int width = a.addresses().get(0).isIpv6() ? 16 : 4;
    ByteBuffer b = ByteBuffer.allocate(HEADER_BYTES + width * a.addresses().size());
    b.put((byte) (VERSION << 4 | ADVERTISEMENT)).put((byte) a.vrid()).put((byte) a.priority());
    b.put((byte) a.addresses().size());
    b.putShort((short) (a.interval().micros() / Advertisement.CENTISECOND.micros()))
        .putShort((short) 0);
    a.addresses().forEach(x -> b.put(x.bytes()));
    b.putShort(6, (short) checksum(b.array(), b.capacity(), width == 16, from, to));
    return b.array();
  }

  /**
   * Reads an advertisement whose addresses are of the receiving address's family; the first
   * `length` bytes are it whole.
   *
   * @throws InvalidPacketException with what section 7.1 has it discarded for
   */
  public Advertisement decode(byte[] bytes, int length, NodeAddress from, NodeAddress to)
      throws InvalidPacketException {
    int width = to.isIpv6() ? 16 : 4;
    if (length < HEADER_BYTES || length > bytes.length) {
      throw new InvalidPacketException(DropReason.LENGTH);
    }
    ByteBuffer b = ByteBuffer.wrap(bytes, 0, length);
    int first = b.get() & 255;
    if (first >> 4 != VERSION) {
      throw new InvalidPacketException(DropReason.VERSION);
    }
    if ((first & 15) != ADVERTISEMENT) {
      throw new InvalidPacketException(DropReason.TYPE);
    }
    int vrid = b.get() & 255;
    int priority = b.get() & 255;
    int count = b.get() & 255;
    int centis = b.getShort() & 0xfff; // the four reserved bits are ignored on receipt (5.2.6)
    if (count == 0) {
      throw new InvalidPacketException(DropReason.COUNT);
    }
    if (length != HEADER_BYTES + width * count) {
      throw new InvalidPacketException(DropReason.LENGTH);
    }
    if (checksum(bytes, length, to.isIpv6(), from, to) != 0) {
      throw new InvalidPacketException(DropReason.CHECKSUM);
    }
    if (vrid == 0) {
      throw new InvalidPacketException(DropReason.VRID);
    }
    if (centis == 0) {
      throw new InvalidPacketException(DropReason.INTERVAL);
    }
    b.getShort();
    List<NodeAddress> addresses = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      byte[] one = new byte[width];
      b.get(one);
      addresses.add(new NodeAddress(one));
    }
    return new Advertisement(
        vrid, priority, new Span(centis * Advertisement.CENTISECOND.micros()), addresses);
  }

  /**
   * The ones' complement of the ones' complement sum (section 5.2.8); 0 over bytes that hold their
   * own checksum.
   */
  private int checksum(byte[] bytes, int length, boolean ipv6, NodeAddress from, NodeAddress to) {
    long sum = 0;
    if (ipv6 || pseudoHeaderForIpv4) {
      sum +=
          sum(from.bytes(), from.bytes().length)
              + sum(to.bytes(), to.bytes().length)
              + length
              + PROTOCOL;
    }
    sum += sum(bytes, length);
    while (sum >> 16 != 0) {
      sum = (sum & 0xffff) + (sum >> 16);
    }
    return (int) (~sum & 0xffff);
  }

  private static long sum(byte[] bytes, int length) {
    long sum = 0;
    for (int i = 0; i < length; i++) {
      sum += (i & 1) == 0 ? (bytes[i] & 255L) << 8 : bytes[i] & 255L;
    }
    return sum;
  }
}
