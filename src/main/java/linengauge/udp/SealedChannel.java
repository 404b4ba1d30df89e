package linengauge.udp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import linengauge.carry.Address;
import linengauge.vrrp.BadPacket;
import linengauge.vrrp.Drop;
import linengauge.vrrp.NodeAddress;
import linengauge.vrrp.Seal;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One UDP socket whose datagrams end with the keyed trailer of {@link Seal}, by the sender's
 * number. What has no key, an old number, no sense or another version is dropped alone and counted
 * by cause. For use by one thread; the counts may be read from any.
 */
public final class SealedChannel implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(SealedChannel.class);
  private static final int LEAST_KEY = 16;
  private static final int NUMBER_BYTES = 4;
  private static final int MOST_NUMBER = 0xffff;
  private static final int MOST_ADDRESSES = 4096;

  /**
   * How the datagrams of one protocol begin.
   *
   * @param version the first byte of each
   * @param senderOffset where the sender's number stands
   * @param senderBytes two or four
   * @param maxBytes bytes without the trailer
   */
  public record DatagramFormat(int version, int senderOffset, int senderBytes, int maxBytes) {
    private int from(byte[] datagram) {
      ByteBuffer at = ByteBuffer.wrap(datagram);
      return senderBytes == Short.BYTES
          ? at.getShort(senderOffset) & 0xffff
          : at.getInt(senderOffset);
    }
  }

  /** What was dropped, by cause. */
  public record Drops(long strangers, long replayed, long unreadable, long otherVersions) {}

  /** What went over the socket, trailers included, headers of UDP and IP not. */
  public record Traffic(long sent, long sentBytes, long received, long receivedBytes) {}

  /** Takes what was proved to be of the fleet. */
  public interface Receiver {
    /**
     * One datagram.
     *
     * @throws IllegalArgumentException where it makes no sense
     */
    void onDatagram(String address, byte[] bytes, int length);
  }

  /** Loses datagrams on purpose, for trials: false, and the datagram is lost. */
  public interface Filter {
    boolean passes(InetSocketAddress other, boolean outgoing);
  }

  private final DatagramFormat form;
  private final int own;
  private final Seal seal;
  private final DatagramChannel channel;
  private final ByteBuffer in;
  private final Map<String, InetSocketAddress> addresses =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, InetSocketAddress> eldest) {
          return size() > MOST_ADDRESSES;
        }
      };
  private long strangers;
  private long replayed;
  private long unreadable;
  private long otherVersions;
  private long sent;
  private long sentBytes;
  private long received;
  private long receivedBytes;
  private volatile Filter filter = (other, outgoing) -> true;
  private volatile Drops drops = new Drops(0, 0, 0, 0);
  private volatile Traffic traffic = new Traffic(0, 0, 0, 0);

  /**
   * Binds at once.
   *
   * @param address where it listens, as host:port with the host in numbers
   * @param own the number by which it seals
   * @param key the fleet's, of 16 bytes at least
   * @throws IOException where it cannot listen there
   */
  public SealedChannel(DatagramFormat form, String address, int own, byte[] key)
      throws IOException {
    if (key.length < LEAST_KEY) {
      throw new IllegalArgumentException("a key of 16 bytes at least, not " + key.length);
    }
    InetSocketAddress listen = Address.inNumbers(address);
    this.form = form;
    this.own = own;
    this.seal = new Seal(key, System.currentTimeMillis() * 1000);
    this.in = ByteBuffer.allocate(form.maxBytes() + Seal.BYTES + 1);
    channel = DatagramChannel.open();
    try {
      channel.bind(listen);
      channel.configureBlocking(false);
    } catch (IOException e) {
      channel.close();
      throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
    }
  }

  /** For trials: what may pass from now on. */
  public void setFilter(Filter passing) {
    filter = passing;
  }

  public Drops drops() {
    return drops;
  }

  public Traffic traffic() {
    return traffic;
  }

  SelectionKey register(Selector selector, Object attachment) throws IOException {
    return channel.register(selector, SelectionKey.OP_READ, attachment);
  }

  /** Reads what is there, so many datagrams at the most: the timers wait meanwhile. */
  public void read(int most, Receiver to) {
    for (int i = 0; i < most && readOne(to); i++) {
      continue;
    }
    drops = new Drops(strangers, replayed, unreadable, otherVersions);
    traffic = new Traffic(sent, sentBytes, received, receivedBytes);
  }

  /** Reads one datagram; false where none is there. */
  private boolean readOne(Receiver to) {
    in.clear();
    InetSocketAddress sender;
    try {
      sender = (InetSocketAddress) channel.receive(in);
    } catch (IOException refused) {
      return true; // one that is not there: the system says so of an earlier datagram
    }
    if (sender == null) {
      return false;
    }
    if (filter.passes(sender, false)) {
      received++;
      receivedBytes += in.position();
      open(sender, Arrays.copyOf(in.array(), in.position()), to);
    }
    return true;
  }

  /**
   * The version is looked at before the trailer: two protocols of one front share its key and
   * number, and a datagram of the one, sent on to the port of the other, must not move the window
   * of numbers heard.
   */
  private void open(InetSocketAddress sender, byte[] bytes, Receiver to) {
    try {
      if (bytes.length < form.senderOffset() + form.senderBytes()) {
        throw new IllegalArgumentException("cut short");
      }
      if (bytes[0] != form.version()) {
        otherVersions++;
        return;
      }
      int from = form.from(bytes);
      if (from < 0 || from > MOST_NUMBER) {
        throw new IllegalArgumentException("a number out of bounds");
      }
      int length = seal.open(bytes, bytes.length, sealedBy(from));
      to.onDatagram(sender.getAddress().getHostAddress() + ":" + sender.getPort(), bytes, length);
    } catch (BadPacket e) {
      strangers += e.cause() == Drop.SEAL ? 1 : 0;
      replayed += e.cause() == Drop.REPLAYED ? 1 : 0;
    } catch (IllegalArgumentException e) {
      unreadable++;
    }
  }

  /** Sends it, or loses it where it cannot be sent: whoever misses it asks again. */
  public void send(String address, byte[] bytes) {
    try {
      InetSocketAddress to = addresses.computeIfAbsent(address, Address::inNumbers);
      if (!filter.passes(to, true)) {
        return;
      }
      ByteBuffer sealed = ByteBuffer.wrap(seal.seal(bytes, sealedBy(own)));
      int length = sealed.remaining();
      if (channel.send(sealed, to) > 0) {
        sent++;
        sentBytes += length;
      }
      traffic = new Traffic(sent, sentBytes, received, receivedBytes);
    } catch (IOException | IllegalArgumentException e) {
      LOG.debug("not sent to {}: {}", address, e.getMessage());
    }
  }

  /** Who seals, as the trailer takes it: the number, in the form of an address. */
  private static NodeAddress sealedBy(int number) {
    return new NodeAddress(ByteBuffer.allocate(NUMBER_BYTES).putInt(number).array());
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
