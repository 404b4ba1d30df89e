package linengauge.platform;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.spi.transport.Transport;
import java.util.concurrent.ThreadFactory;

/**
 * A transport whose connections are accepted by the same event loop that reads them. The library's
 * own transport accepts on a separate loop, which takes hundreds of connections while the front's
 * loop is busy: each holds a descriptor until the front's loop has seen it, and none is left for
 * servers and the journal service. Here, connections that arrive faster than the one loop accepts
 * them wait in the system's backlog. Reads from clients are small, as each connection may hold what
 * it has read last.
 */
final class OneLoopTransport extends NioTransport implements io.vertx.core.transport.Transport {
  private static final int MIN_READ_BYTES = 64;
  private static final int FIRST_READ_BYTES = 1024;
  private static final int MAX_READ_BYTES = 8 * 1024;

  private EventLoopGroup group;

  @Override
  public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory factory, int ioRatio) {
    if (group == null) {
      group = super.eventLoopGroup(type, 1, factory, ioRatio);
    }
    return group;
  }

  @Override
  @SuppressWarnings("deprecation") // The library names no other option for the size of reads.
  public void configure(NetServerOptions options, boolean domainSocket, ServerBootstrap bootstrap) {
    super.configure(options, domainSocket, bootstrap);
    bootstrap.childOption(
        ChannelOption.RCVBUF_ALLOCATOR,
        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES));
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
