package linengauge.vrrp;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Signs and verifies datagrams with a keyed trailer: an increasing sequence number and an
 * HMAC-SHA-256 truncated to half its length (RFC 2104, RFC 4868) over the packet, the sequence
 * number and the sender's address. The trailer protects against third parties that claim an address
 * or depose its holder, and against replayed advertisements. If a node's clock is set back while
 * the node is down, its partners ignore it until the clock has caught up, because its sequence
 * numbers start at the clock.
 */
public final class DatagramAuthenticator {
  private static final String ALGORITHM = "HmacSHA256";
  private static final int SEQUENCE_NUMBER_BYTES = 8;
  private static final int MAC_BYTES = 16;

  /** The maximum number of senders whose sequence numbers are remembered. */
  public static final int MAX_SENDERS = 8192;

  /** The length of the trailer. */
  public static final int TRAILER_BYTES = SEQUENCE_NUMBER_BYTES + MAC_BYTES;

  /**
   * The highest sequence number received and which of the 63 before it were received, so that
   * reordered datagrams are accepted too (RFC 4303, 3.4.3).
   */
  private static final class ReplayWindow {
    private long highest = Long.MIN_VALUE / 4;
    private long receivedBits;

    private boolean acceptIfNew(long sequenceNumber) {
      if (sequenceNumber > highest) {
        long advance = sequenceNumber - highest;
        receivedBits = (advance < Long.SIZE ? receivedBits << advance : 0) | 1;
        highest = sequenceNumber;
        return true;
      }
      long age = highest - sequenceNumber;
      if (age >= Long.SIZE || (receivedBits >> age & 1) == 1) {
        return false;
      }
      receivedBits |= 1L << age;
      return true;
    }
  }

  private final Mac mac;

  /**
   * The replay window of each sender; the least recently received sender is evicted first. The
   * limit prevents a holder of the key that uses ever more addresses from exhausting the memory.
   * With more senders than the limit, one replayed datagram of an evicted sender is accepted.
   */
  private final Map<NodeAddress, ReplayWindow> replayWindows =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<NodeAddress, ReplayWindow> eldest) {
          return size() > MAX_SENDERS;
        }
      };

  private long nextSequenceNumber;

  /**
   * @param firstSequenceNumber higher than any that this node has sent with this key: the wall
   *     clock in microseconds
   */
  public DatagramAuthenticator(byte[] key, long firstSequenceNumber) {
    try {
      mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
    } catch (GeneralSecurityException e) {
      throw new IllegalArgumentException(
          "cannot use the key for " + ALGORITHM + ": " + e.getMessage(), e);
    }
    this.nextSequenceNumber = firstSequenceNumber;
  }

  /** Returns the packet with its trailer appended. */
  public byte[] sign(byte[] packet, NodeAddress sender) {
    byte[] signed = Arrays.copyOf(packet, packet.length + TRAILER_BYTES);
    ByteBuffer.wrap(signed).putLong(packet.length, nextSequenceNumber++);
    System.arraycopy(
        computeMac(signed, packet.length + SEQUENCE_NUMBER_BYTES, sender),
        0,
        signed,
        packet.length + SEQUENCE_NUMBER_BYTES,
        MAC_BYTES);
    return signed;
  }

  /**
   * Verifies the trailer and returns the length of the packet before it.
   *
   * @throws InvalidPacketException with {@link DropReason#SEAL} or {@link DropReason#REPLAYED}
   */
  public int verify(byte[] signed, int length, NodeAddress sender) throws InvalidPacketException {
    int packetLength = length - TRAILER_BYTES;
    if (packetLength < 0) {
      throw new InvalidPacketException(DropReason.SEAL);
    }
    byte[] receivedMac = Arrays.copyOfRange(signed, packetLength + SEQUENCE_NUMBER_BYTES, length);
    if (!MessageDigest.isEqual(
        receivedMac, computeMac(signed, packetLength + SEQUENCE_NUMBER_BYTES, sender))) {
      throw new InvalidPacketException(DropReason.SEAL);
    }
    long sequenceNumber = ByteBuffer.wrap(signed).getLong(packetLength);
    if (!replayWindows
        .computeIfAbsent(sender, newSender -> new ReplayWindow())
        .acceptIfNew(sequenceNumber)) {
      throw new InvalidPacketException(DropReason.REPLAYED);
    }
    return packetLength;
  }

  /** Returns the number of senders whose sequence numbers are remembered. */
  int senderCount() {
    return replayWindows.size();
  }

  private byte[] computeMac(byte[] bytes, int length, NodeAddress sender) {
    mac.update(bytes, 0, length);
    return Arrays.copyOf(mac.doFinal(sender.bytes()), MAC_BYTES);
  }
}
