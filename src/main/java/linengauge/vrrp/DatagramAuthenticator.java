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
 * The keyed trailer: a number that only rises, and half of an HMAC-SHA-256 (RFC 2104, RFC 4868)
 * over the advertisement, the number and the sender's address. Guards against strangers that take
 * or depose, and against old advertisements sent again. It could hurt where a node's clock is set
 * back while it is down: its numbers begin at the clock, and partners pass it over until the clock
 * has caught up.
 */
public final class DatagramAuthenticator {
  private static final String KIND = "HmacSHA256";
  private static final int NUMBER_BYTES = 8;
  private static final int MAC_BYTES = 16;

  /** Senders whose numbers are remembered. */
  public static final int MAX_SENDERS = 8192;

  /** What the trailer takes. */
  public static final int TRAILER_BYTES = NUMBER_BYTES + MAC_BYTES;

  /**
   * The highest number heard and which of the 63 before it were: what is overtaken on its way is
   * heard too (RFC 4303, 3.4.3).
   */
  private static final class Heard {
    private long highest = Long.MIN_VALUE / 4;
    private long seen;

    private boolean isNew(long n) {
      if (n > highest) {
        long up = n - highest;
        seen = (up < Long.SIZE ? seen << up : 0) | 1;
        highest = n;
        return true;
      }
      long back = highest - n;
      if (back >= Long.SIZE || (seen >> back & 1) == 1) {
        return false;
      }
      seen |= 1L << back;
      return true;
    }
  }

  private final Mac mac;

  /**
   * The numbers heard of each sender; whoever was silent for longest is forgotten first. Guards
   * against a holder of the key that goes by ever more names and fills the memory. It could hurt
   * where more senders than that are there: an old datagram of a forgotten one would be taken once.
   */
  private final Map<NodeAddress, Heard> heard =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<NodeAddress, Heard> eldest) {
          return size() > MAX_SENDERS;
        }
      };

  private long number;

  /**
   * @param firstNumber higher than any that this node has sent with this key: the wall's clock in
   *     microseconds
   */
  public DatagramAuthenticator(byte[] key, long firstNumber) {
    try {
      mac = Mac.getInstance(KIND);
      mac.init(new SecretKeySpec(key, KIND));
    } catch (GeneralSecurityException e) {
      throw new IllegalArgumentException("no key for " + KIND + ": " + e.getMessage(), e);
    }
    this.number = firstNumber;
  }

  /** The advertisement with its trailer. */
  public byte[] sign(byte[] packet, NodeAddress from) {
    byte[] sealed = Arrays.copyOf(packet, packet.length + TRAILER_BYTES);
    ByteBuffer.wrap(sealed).putLong(packet.length, number++);
    System.arraycopy(
        macOf(sealed, packet.length + NUMBER_BYTES, from),
        0,
        sealed,
        packet.length + NUMBER_BYTES,
        MAC_BYTES);
    return sealed;
  }

  /**
   * How many of the bytes are the advertisement, once the trailer is proved.
   *
   * @throws InvalidPacketException SEAL or REPLAYED
   */
  public int verify(byte[] sealed, int length, NodeAddress from) throws InvalidPacketException {
    int packet = length - TRAILER_BYTES;
    if (packet < 0) {
      throw new InvalidPacketException(DropReason.SEAL);
    }
    byte[] told = Arrays.copyOfRange(sealed, packet + NUMBER_BYTES, length);
    if (!MessageDigest.isEqual(told, macOf(sealed, packet + NUMBER_BYTES, from))) {
      throw new InvalidPacketException(DropReason.SEAL);
    }
    long n = ByteBuffer.wrap(sealed).getLong(packet);
    if (!heard.computeIfAbsent(from, f -> new Heard()).isNew(n)) {
      throw new InvalidPacketException(DropReason.REPLAYED);
    }
    return packet;
  }

  /** How many senders' numbers are remembered. */
  int senderCount() {
    return heard.size();
  }

  private byte[] macOf(byte[] bytes, int length, NodeAddress from) {
    mac.update(bytes, 0, length);
    return Arrays.copyOf(mac.doFinal(from.bytes()), MAC_BYTES);
  }
}
