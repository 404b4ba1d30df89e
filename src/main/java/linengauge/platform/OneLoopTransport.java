package linengauge.platform;

import io.netty.channel.EventLoopGroup;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.spi.transport.Transport;
import java.util.concurrent.ThreadFactory;

/**
 * A transport whose connections are accepted by the same event loop that reads them. The library's
 * own transport accepts on a separate loop, which takes hundreds of connections while the front's
 * loop is busy: each holds a descriptor until the front's loop has seen it, and none is left for
 * servers and the journal service. Here, connections that arrive faster than the one loop accepts
 * them wait in the system's backlog.
 */
final class OneLoopTransport extends NioTransport implements io.vertx.core.transport.Transport {
  private EventLoopGroup group;

  @Override
  public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory factory, int ioRatio) {
    if (group == null) {
      group = super.eventLoopGroup(type, 1, factory, ioRatio);
    }
    return group;
  }

  @Override
  public String name() {
    return "nio, one loop";
  }

  @Override
  public boolean available() {
    return true;
  }

  @Override
  public Throwable unavailabilityCause() {
    return null;
  }

  @Override
  public Transport implementation() {
    return this;
  }
}
