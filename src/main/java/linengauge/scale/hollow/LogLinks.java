package linengauge.scale.hollow;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import linengauge.standin.FaultyLink;

/**
 * Links for the log's connections between regions, one for each region and voter of another, so
 * that a region's can be cut. Connections within a region are direct.
 */
final class LogLinks implements AutoCloseable {
  private static final String HERE = "127.0.0.1";

  private record Link(int fromRegion, int toRegion, FaultyLink link) {}

  private final Vertx vertx = Vertx.vertx();
  private final List<Link> links = new ArrayList<>();
  private final Map<Integer, Map<Integer, String>> ways = new HashMap<>();

  LogLinks(HollowPorts ports) throws IOException {
    for (int region = 0; region < ports.fleet().regions(); region++) {
      Map<Integer, String> ofRegion = new HashMap<>(ports.voters());
      for (int voter : ports.voters().keySet()) {
        int to = ports.regionOfMachine(voter);
        if (to != region) {
          FaultyLink link = new FaultyLink(vertx, HERE, ports.logPort(voter));
          links.add(new Link(region, to, link));
          ofRegion.put(voter, HERE + ":" + open(link));
        }
      }
      ways.put(region, ofRegion);
    }
  }

  private static int open(FaultyLink link) throws IOException {
    try {
      return link.open().toCompletionStage().toCompletableFuture().get();
    } catch (ExecutionException e) {
      throw new IOException(e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  /** Where those of that region reach the voters. */
  Map<Integer, String> waysFrom(int region) {
    return ways.get(region);
  }

  /** Holds what goes into or out of that region, or both; null: lets all go again. */
  void cut(int region, HollowEvent.Direction direction) {
    boolean in = direction != null && direction != HollowEvent.Direction.OUT;
    boolean out = direction != null && direction != HollowEvent.Direction.IN;
    for (Link link : links) {
      if (link.fromRegion == region) {
        link.link.holdRequests(out);
        link.link.holdAnswers(in);
      } else if (link.toRegion == region) {
        link.link.holdRequests(in);
        link.link.holdAnswers(out);
      }
    }
  }

  @Override
  public void close() {
    vertx.close();
  }
}
