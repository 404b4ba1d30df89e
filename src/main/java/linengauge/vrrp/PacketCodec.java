package linengauge.vrrp;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import linengauge.Span;

/**
 * Encodes and decodes advertisements (RFC 9568, section 5.2):
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
   * The IP protocol number of VRRP (section 5.1), which is part of the pseudo-header although the
   * packet is carried over UDP.
   */
  private static final int IP_PROTOCOL = 112;

  private final boolean pseudoHeaderForIpv4;

  /**
   * @param pseudoHeaderForIpv4 whether IPv4 checksums cover a pseudo-header too, as RFC 5798
   *     allows; RFC 9568 (section 5.2.8) has one for IPv6 only
   */
  public PacketCodec(boolean pseudoHeaderForIpv4) {
    this.pseudoHeaderForIpv4 = pseudoHeaderForIpv4;
  }

  /** Encodes an advertisement; the checksum may cover the source and destination address. */
  public byte[] encode(Advertisement advertisement, NodeAddress source, NodeAddress destination) {
    int addressLength = advertisement.addresses().get(0).isIpv6() ? 16 : 4;
    ByteBuffer buffer =
        ByteBuffer.allocate(HEADER_BYTES + addressLength * advertisement.addresses().size());
    buffer
        .put((byte) (VERSION << 4 | ADVERTISEMENT))
        .put((byte) advertisement.vrid())
        .put((byte) advertisement.priority());
    buffer.put((byte) advertisement.addresses().size());
    buffer
        .putShort((short) (advertisement.interval().micros() / Advertisement.CENTISECOND.micros()))
        .putShort((short) 0);
    advertisement.addresses().forEach(address -> buffer.put(address.bytes()));
    buffer.putShort(
        6,
        (short)
            checksum(buffer.array(), buffer.capacity(), addressLength == 16, source, destination));
    return buffer.array();
  }

  /**
   * Decodes the advertisement in the first `length` bytes; its addresses are of the same family as
   * the destination.
   *
   * @throws InvalidPacketException with the reason for which section 7.1 requires it to be
   *     discarded
   */
  public Advertisement decode(byte[] bytes, int length, NodeAddress source, NodeAddress destination)
      throws InvalidPacketException {
    int addressLength = destination.isIpv6() ? 16 : 4;
    if (length < HEADER_BYTES || length > bytes.length) {
      throw new InvalidPacketException(DropReason.LENGTH);
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes, 0, length);
    int versionAndType = buffer.get() & 255;
    if (versionAndType >> 4 != VERSION) {
      throw new InvalidPacketException(DropReason.VERSION);
    }
    if ((versionAndType & 15) != ADVERTISEMENT) {
      throw new InvalidPacketException(DropReason.TYPE);
    }
    int vrid = buffer.get() & 255;
    int priority = buffer.get() & 255;
    int count = buffer.get() & 255;
    // The four reserved bits are ignored on receipt (section 5.2.6).
    int centiseconds = buffer.getShort() & 0xfff;
    if (count == 0) {
      throw new InvalidPacketException(DropReason.COUNT);
    }
    if (length != HEADER_BYTES + addressLength * count) {
      throw new InvalidPacketException(DropReason.LENGTH);
    }
    if (checksum(bytes, length, destination.isIpv6(), source, destination) != 0) {
      throw new InvalidPacketException(DropReason.CHECKSUM);
    }
    if (vrid == 0) {
      throw new InvalidPacketException(DropReason.VRID);
    }
    if (centiseconds == 0) {
      throw new InvalidPacketException(DropReason.INTERVAL);
    }
    buffer.getShort();
    List<NodeAddress> addresses = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      byte[] address = new byte[addressLength];
      buffer.get(address);
      addresses.add(new NodeAddress(address));
    }
    return new Advertisement(
        vrid, priority, new Span(centiseconds * Advertisement.CENTISECOND.micros()), addresses);
  }

  /**
   * The ones' complement of the ones' complement sum (section 5.2.8); 0 for bytes that contain
   * their own checksum.
   */
  private int checksum(
      byte[] bytes, int length, boolean ipv6, NodeAddress source, NodeAddress destination) {
    long sum = 0;
    if (ipv6 || pseudoHeaderForIpv4) {
      sum +=
          sum(source.bytes(), source.bytes().length)
              + sum(destination.bytes(), destination.bytes().length)
              + length
              + IP_PROTOCOL;
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
