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
 * UDP links, each from one caller to one port, that can drop requests or answers. One thread serves
 * all of them.
 */
public final class FaultyDatagramLinks implements AutoCloseable {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int MAX_BYTES = 2048;
  private static final int MAX_LINKS = 256;

  /** One link; its methods may be called from any thread. */
  public static final class Link {
    private final DatagramChannel callerSide;
    private final DatagramChannel targetSide;
    private final InetSocketAddress target;
    private final int port;
    private SocketAddress caller;
    private volatile boolean dropsRequests;
    private volatile boolean dropsAnswers;

    private Link(int toPort) throws IOException {
      target = new InetSocketAddress(InetAddress.getByName(LOOPBACK), toPort);
      callerSide = open();
      targetSide = open();
      port = ((InetSocketAddress) callerSide.getLocalAddress()).getPort();
    }

    private static DatagramChannel open() throws IOException {
      DatagramChannel channel = DatagramChannel.open();
      channel.bind(new InetSocketAddress(InetAddress.getByName(LOOPBACK), 0));
      channel.configureBlocking(false);
      return channel;
    }

    /** The port that the caller sends to. */
    public int port() {
      return port;
    }

    public void dropRequests(boolean on) {
      dropsRequests = on;
    }

    public void dropAnswers(boolean on) {
      dropsAnswers = on;
    }

    private void forward(DatagramChannel from, ByteBuffer buffer) {
      try {
        buffer.clear();
        SocketAddress sender = from.receive(buffer);
        buffer.flip();
        boolean isRequest = from == callerSide;
        if (sender == null || (isRequest ? dropsRequests : dropsAnswers)) {
          return;
        }
        if (isRequest) {
          caller = sender;
          targetSide.send(buffer, target);
        } else if (caller != null) {
          callerSide.send(buffer, caller);
        }
      } catch (IOException e) {
        return; // The datagram is lost, which callers must expect of any link.
      }
    }
  }

  private final Selector selector = Selector.open();
  private final ArrayBlockingQueue<Link> opened = new ArrayBlockingQueue<>(MAX_LINKS);
  private final Thread thread = new Thread(this::run, "datagram-links");
  private volatile boolean closing;

  /** Starts without any link. */
  public FaultyDatagramLinks() throws IOException {
    thread.setDaemon(true);
    thread.start();
  }

  /** Opens a link to that port on loopback. */
  public Link open(int toPort) throws IOException {
    Link link = new Link(toPort);
    if (!opened.offer(link)) {
      throw new IOException("more than " + MAX_LINKS + " links at once");
    }
    selector.wakeup();
    return link;
  }

  private void run() {
    ByteBuffer buffer = ByteBuffer.allocate(MAX_BYTES);
    try {
      while (!closing) {
        selector.select();
        for (Link link = opened.poll(); link != null; link = opened.poll()) {
          link.callerSide.register(selector, SelectionKey.OP_READ, link);
          link.targetSide.register(selector, SelectionKey.OP_READ, link);
        }
        for (SelectionKey key : List.copyOf(selector.selectedKeys())) {
          ((Link) key.attachment()).forward((DatagramChannel) key.channel(), buffer);
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
