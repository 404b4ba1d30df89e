package linengauge.platform;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;

/**
 * Runs a front of the platform on loopback: one session after another is set up at a server that
 * answers, and ends. It loads the classes that a front in service loads, so the build creates the
 * class archive from it.
 */
public final class TryOut {
  private static final String SETTINGS =
      """
            {"balancers":1,"charges":{"probe":0.01},"domain":{"floorByClass":[0],"highestRung":[4],"ladderKb":[100,200,400,600,800],
            "places":4,"placesByKind":[30],"rateFactor":[1],"seeUs":1000000,"shelves":2,"uplinkKb":90000,"weightKb":20000,
            "linksKb":100000,"worthByRung":[0.3,0.5,0.7,0.8,1]},"guarantees":{"coldUs":5000000,"drainGraceUs":1000000,
            "fallMultiple":2.5,"startCapacity":0.4,"tipAfterUs":1500000},"kinds":["box"],
            "loadReport":{"fields":["outstanding","x0","x1"],"how":"pull"},"localities":["hall"],"me":0,
            "policyLimits":{"dialTimeoutUs":250000,"idleCloseUs":30000000,"maxAttempts":3,"maxRetryAfterUs":2000000,
            "peers":false,"probing":true,"retryAfter":true},
            "requestClasses":[{"aimUs":800000,"deadlineUs":400000,"idempotency":"safe","name":"lesson","worth":1}],
            "weights":"rough","zone":0}""";

  private TryOut() {}

  /** The configuration of a front with servers and journal service at these loopback ports. */
  static String configuration(int listenPort, int journalPort, int... serverPorts) {
    StringBuilder rows = new StringBuilder();
    for (int i = 0; i < serverPorts.length; i++) {
      rows.append(i == 0 ? "" : ",")
          .append(
              String.format(
                  "{\"uid\":\"s-%08x\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"hall\","
                      + "\"model\":\"box\",\"pod_group\":%d,\"state\":\"up\",\"capacity_hint\":2,\"boot_ms\":0}",
                  i + 1, serverPorts[i], i));
    }
    return String.format(
        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:%d\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1,"
            + "\"memory_mb\":128,\"sockets\":256},\"journal\":\"127.0.0.1:%d\",\"known\":{\"pos\":1,\"entries\":[{\"pos\":1,"
            + "\"hosts\":{\"rev\":1,\"all\":true,\"targets\":[%s]}}]},\"settings\":%s}",
        listenPort, journalPort, rows, SETTINGS);
  }

  /**
   * Runs the scenario against a front at these ports; returns the exit code of the process, 0 if
   * the scenario passed and the front stopped in order.
   */
  public static int run(
      int listenPort, int journalPort, int[] serverPorts, Callable<Boolean> scenario)
      throws Exception {
    Path configurationFile = Files.createTempFile("linengauge-tryout", ".json");
    try {
      Files.writeString(configurationFile, configuration(listenPort, journalPort, serverPorts));
      Service service = new Service(configurationFile, Configuration.read(configurationFile));
      service.start().join();
      boolean passed = scenario.call();
      service.reload();
      service.stop();
      return passed && service.awaitStop().isEmpty() ? 0 : 1;
    } finally {
      Files.delete(configurationFile);
    }
  }
}
