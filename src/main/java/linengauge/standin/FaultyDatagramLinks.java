package linengauge.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;

/**
 * UDP links from one caller each to one port, each of which can be made to lose what is asked or
 * what is answered. One thread carries all of them.
 */
public final class FaultyDatagramLinks implements AutoCloseable {
  private static final String HERE = "127.0.0.1";
  private static final int MOST_BYTES = 2048;
  private static final int MOST_LINKS = 256;

  /** One link; its methods may be called from any thread. */
  public static final class Link {
    private final DatagramChannel near;
    private final DatagramChannel far;
    private final InetSocketAddress to;
    private final int port;
    private SocketAddress caller;
    private volatile boolean losesAsked;
    private volatile boolean losesAnswers;

    private Link(int toPort) throws IOException {
      to = new InetSocketAddress(InetAddress.getByName(HERE), toPort);
      near = open();
      far = open();
      port = ((InetSocketAddress) near.getLocalAddress()).getPort();
    }

    private static DatagramChannel open() throws IOException {
      DatagramChannel channel = DatagramChannel.open();
      channel.bind(new InetSocketAddress(InetAddress.getByName(HERE), 0));
      channel.configureBlocking(false);
      return channel;
    }

    /** Where the caller sends to. */
    public int port() {
      return port;
    }

    public void dropRequests(boolean on) {
      losesAsked = on;
    }

    public void dropAnswers(boolean on) {
      losesAnswers = on;
    }

    private void carry(DatagramChannel from, ByteBuffer room) {
      try {
        room.clear();
        SocketAddress sender = from.receive(room);
        room.flip();
        boolean asked = from == near;
        if (sender == null || (asked ? losesAsked : losesAnswers)) {
          return;
        }
        if (asked) {
          caller = sender;
          far.send(room, to);
        } else if (caller != null) {
          near.send(room, caller);
        }
      } catch (IOException e) {
        return; // lost, as on any link
      }
    }
  }

  private final Selector selector = Selector.open();
  private final ArrayBlockingQueue<Link> opened = new ArrayBlockingQueue<>(MOST_LINKS);
  private final Thread thread = new Thread(this::run, "datagram-links");
  private volatile boolean closing;

  /** Begins with no link. */
  public FaultyDatagramLinks() throws IOException {
    thread.setDaemon(true);
    thread.start();
  }

  /** One link to that port on loopback. */
  public Link open(int toPort) throws IOException {
    Link link = new Link(toPort);
    if (!opened.offer(link)) {
      throw new IOException("more than " + MOST_LINKS + " links at once");
    }
    selector.wakeup();
    return link;
  }

  private void run() {
    ByteBuffer room = ByteBuffer.allocate(MOST_BYTES);
    try {
      while (!closing) {
        selector.select();
        for (Link link = opened.poll(); link != null; link = opened.poll()) {
          link.near.register(selector, SelectionKey.OP_READ, link);
          link.far.register(selector, SelectionKey.OP_READ, link);
        }
        for (SelectionKey key : List.copyOf(selector.selectedKeys())) {
          ((Link) key.attachment()).carry((DatagramChannel) key.channel(), room);
        }
        selector.selectedKeys().clear();
      }
      for (SelectionKey key : selector.keys()) {
        key.channel().close();
      }
      selector.close();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    closing = true;
    selector.wakeup();
  }
}
