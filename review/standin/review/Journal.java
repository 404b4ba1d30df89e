package review;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The journal service: events from 2 on (event 1 is known at the start), and a sign each second. */
final class Journal implements AutoCloseable {
  final int port;
  private final Bench bench;
  private final ServerSocket listener;
  private final List<byte[]> events = new ArrayList<>();
  private final List<Socket> readers = new ArrayList<>();

  Journal(Bench bench) throws IOException {
    this.bench = bench;
    listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    port = listener.getLocalPort();
    events.add(new byte[0]);
    Thread thread = new Thread(this::accept, "journal");
    thread.setDaemon(true);
    thread.start();
    bench.timers.scheduleAtFixedRate(this::heartbeat, 1, 1, java.util.concurrent.TimeUnit.SECONDS);
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        long last = new DataInputStream(socket.getInputStream()).readLong();
        synchronized (this) {
          bench.log("journal: a front follows from event %d", last);
          readers.add(socket);
          for (long number = last; number < events.size(); number++) {
            socket.getOutputStream().write(events.get((int) number));
          }
        }
      }
    } catch (IOException e) {
      // closed
    }
  }

  private synchronized void heartbeat() {
    send(ByteBuffer.allocate(13).putInt(9).putLong(events.size()).put((byte) 0).array());
  }

  /** Tells of a change of one server; state: 0 ready, 1 draining, 2 gone. */
  synchronized void tell(Server server, int state, long startedUnixMs) {
    ByteBuffer frame = ByteBuffer.allocate(13 + 27).putInt(9 + 27).putLong(events.size() + 1).put((byte) 2)
        .putInt((int) server.id).put(new byte[] {127, 0, 0, 1}).putShort((short) server.port)
        .put((byte) state).put((byte) 0).put((byte) 0).putShort((short) server.cell).putInt(2000)
        .putLong(startedUnixMs);
    events.add(frame.array());
    bench.log("journal: event %d, server %s, state %d, started at %d", events.size(), server.name, state, startedUnixMs);
    send(frame.array());
  }

  private void send(byte[] bytes) {
    readers.removeIf(socket -> {
      try {
        socket.getOutputStream().write(bytes);
        return false;
      } catch (IOException e) {
        return true;
      }
    });
  }

  @Override
  public void close() throws IOException {
    listener.close();
    synchronized (this) {
      for (Socket socket : readers) {
        socket.close();
      }
    }
  }
}
