package linengauge.platform;

import io.netty.channel.EventLoopGroup;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.spi.transport.Transport;
import java.util.concurrent.ThreadFactory;

/**
 * Sockets whose connections are taken by the very loop that reads them. Guards against a listener
 * with a loop of its own, as the library gives it, that takes hundreds while the front's loop is
 * busy: each holds a descriptor until that loop has seen it, and none is left for servers and the
 * list. It could hurt where one loop cannot take connections as fast as they come: they wait in the
 * system's backlog.
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
