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
import linengauge.net.SocketAddresses;
import linengauge.vrrp.DatagramAuthenticator;
import linengauge.vrrp.DropReason;
import linengauge.vrrp.InvalidPacketException;
import linengauge.vrrp.NodeAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A UDP socket whose datagrams end with the keyed trailer of {@link DatagramAuthenticator},
 * computed with the sender's number. Datagrams that are unauthenticated, replayed, malformed or of
 * another version are dropped one by one and counted by cause. Not thread-safe, but the counts may
 * be read from any thread.
 */
public final class SealedChannel implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(SealedChannel.class);
  private static final int MIN_KEY_BYTES = 16;
  private static final int SENDER_ADDRESS_BYTES = 4;
  private static final int MAX_SENDER = 0xffff;
  private static final int MAX_CACHED_ADDRESSES = 4096;

  /**
   * The common header of one protocol's datagrams.
   *
   * @param version the first byte of each datagram
   * @param senderOffset offset of the sender's number
   * @param senderBytes size of the sender's number, 2 or 4 bytes
   * @param maxBytes maximum datagram size without the trailer
   */
  public record DatagramFormat(int version, int senderOffset, int senderBytes, int maxBytes) {
    private int senderOf(byte[] datagram) {
      ByteBuffer buffer = ByteBuffer.wrap(datagram);
      return senderBytes == Short.BYTES
          ? buffer.getShort(senderOffset) & 0xffff
          : buffer.getInt(senderOffset);
    }
  }

  /**
   * Counts of dropped datagrams by cause; `strangers` are those with an invalid trailer, and
   * `unreadable` are malformed or have a sender's number out of range.
   */
  public record Drops(long strangers, long replayed, long unreadable, long otherVersions) {}

  /** Datagrams and bytes on the socket, with trailers but without the UDP and IP headers. */
  public record Traffic(long sent, long sentBytes, long received, long receivedBytes) {}

  /** Receives the authenticated datagrams. */
  public interface Receiver {
    /**
     * Handles one datagram.
     *
     * @throws IllegalArgumentException if the datagram is malformed
     */
    void onDatagram(String address, byte[] bytes, int length);
  }

  /** Simulates loss in tests: a datagram for which this returns false is discarded. */
  public interface Filter {
    boolean passes(InetSocketAddress peer, boolean outgoing);
  }

  private final DatagramFormat format;
  private final int ownNumber;
  private final DatagramAuthenticator seal;
  private final DatagramChannel channel;
  private final ByteBuffer receiveBuffer;
  private final Map<String, InetSocketAddress> addresses =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, InetSocketAddress> eldest) {
          return size() > MAX_CACHED_ADDRESSES;
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
  private volatile Filter filter = (peer, outgoing) -> true;
  private volatile Drops drops = new Drops(0, 0, 0, 0);
  private volatile Traffic traffic = new Traffic(0, 0, 0, 0);

  /**
   * Opens the channel and binds it.
   *
   * @param address the address to listen on, as host:port with a numeric host
   * @param ownNumber the sender's number in the trailers of this channel
   * @param key the key shared by the fleet, at least 16 bytes
   * @throws IOException if the address cannot be bound
   */
  public SealedChannel(DatagramFormat format, String address, int ownNumber, byte[] key)
      throws IOException {
    if (key.length < MIN_KEY_BYTES) {
      throw new IllegalArgumentException("the key must have at least 16 bytes, not " + key.length);
    }
    InetSocketAddress listen = SocketAddresses.parseNumeric(address);
    this.format = format;
    this.ownNumber = ownNumber;
    this.seal = new DatagramAuthenticator(key, System.currentTimeMillis() * 1000);
    this.receiveBuffer =
        ByteBuffer.allocate(format.maxBytes() + DatagramAuthenticator.TRAILER_BYTES + 1);
    channel = DatagramChannel.open();
    try {
      channel.bind(listen);
      channel.configureBlocking(false);
    } catch (IOException e) {
      channel.close();
      throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
    }
  }

  /** Replaces the loss filter. For tests. */
  public void setFilter(Filter newFilter) {
    filter = newFilter;
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

  /** Reads the pending datagrams, up to the given number: timers are not served while this runs. */
  public void read(int maxDatagrams, Receiver receiver) {
    for (int i = 0; i < maxDatagrams && readOne(receiver); i++) {
      continue;
    }
    drops = new Drops(strangers, replayed, unreadable, otherVersions);
    traffic = new Traffic(sent, sentBytes, received, receivedBytes);
  }

  /** Reads one datagram; returns false if none is pending. */
  private boolean readOne(Receiver receiver) {
    receiveBuffer.clear();
    InetSocketAddress source;
    try {
      source = (InetSocketAddress) channel.receive(receiveBuffer);
    } catch (IOException refused) {
      return true; // the system reports here that an earlier datagram of ours found no listener
    }
    if (source == null) {
      return false;
    }
    if (filter.passes(source, false)) {
      received++;
      receivedBytes += receiveBuffer.position();
      open(source, Arrays.copyOf(receiveBuffer.array(), receiveBuffer.position()), receiver);
    }
    return true;
  }

  /**
   * Checks the version before the trailer. Two protocols of one front share its key and number, so
   * a datagram of one protocol that is redirected to the port of the other must not advance the
   * replay window.
   */
  private void open(InetSocketAddress source, byte[] bytes, Receiver receiver) {
    try {
      if (bytes.length < format.senderOffset() + format.senderBytes()) {
        throw new IllegalArgumentException("datagram is too short");
      }
      if (bytes[0] != format.version()) {
        otherVersions++;
        return;
      }
      int sender = format.senderOf(bytes);
      if (sender < 0 || sender > MAX_SENDER) {
        throw new IllegalArgumentException("sender's number is out of range");
      }
      int length = seal.verify(bytes, bytes.length, senderAddress(sender));
      receiver.onDatagram(
          source.getAddress().getHostAddress() + ":" + source.getPort(), bytes, length);
    } catch (InvalidPacketException e) {
      strangers += e.reason() == DropReason.SEAL ? 1 : 0;
      replayed += e.reason() == DropReason.REPLAYED ? 1 : 0;
    } catch (IllegalArgumentException e) {
      unreadable++;
    }
  }

  /**
   * Sends a datagram. One that cannot be sent is discarded, since the protocols above repeat their
   * requests.
   */
  public void send(String address, byte[] bytes) {
    try {
      InetSocketAddress destination =
          addresses.computeIfAbsent(address, SocketAddresses::parseNumeric);
      if (!filter.passes(destination, true)) {
        return;
      }
      ByteBuffer sealed = ByteBuffer.wrap(seal.sign(bytes, senderAddress(ownNumber)));
      int length = sealed.remaining();
      if (channel.send(sealed, destination) > 0) {
        sent++;
        sentBytes += length;
      }
      traffic = new Traffic(sent, sentBytes, received, receivedBytes);
    } catch (IOException | IllegalArgumentException e) {
      LOG.debug("cannot send to {}: {}", address, e.getMessage());
    }
  }

  /** The sender's number in the form of an address, as the trailer requires it. */
  private static NodeAddress senderAddress(int number) {
    return new NodeAddress(ByteBuffer.allocate(SENDER_ADDRESS_BYTES).putInt(number).array());
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
