package linengauge.drill;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import linengauge.Span;
import linengauge.membership.Member;
import linengauge.membership.MemberUpdate;
import linengauge.membership.MembershipSettings;
import linengauge.membership.udp.MembershipNode;

/**
 * Runs a single front's gossip membership as a process. Its record has a line for each change, and
 * ten lines a second for the current view, each with the wall clock time in milliseconds. It ends
 * when there is input, and then announces that it leaves.
 */
public final class MemberProcess {
  private static final long SAMPLE_INTERVAL_MS = 100;

  private MemberProcess() {}

  /**
   * Runs until there is input; the end of the input alone does not end it. All durations of the
   * default settings are scaled to the given period.
   */
  public static void run(Member self, List<String> seeds, Path keyFile, Path record, Span period)
      throws IOException, InterruptedException {
    MembershipSettings settings = MembershipSettings.DEFAULT.withPeriod(period);
    try (BufferedWriter out = Files.newBufferedWriter(record);
        MembershipNode node =
            new MembershipNode(
                settings,
                self,
                seeds,
                Files.readAllBytes(keyFile),
                update -> writeLine(out, "changed", toJson(update)))) {
      node.start();
      while (System.in.available() == 0) {
        Thread.sleep(SAMPLE_INTERVAL_MS);
        MembershipNode.Drops drops = node.drops();
        writeLine(
            out,
            "holds",
            "\"others\":["
                + node.members().stream()
                    .map(MemberProcess::toJson)
                    .collect(Collectors.joining(","))
                + "],\"strangers\":"
                + drops.strangers()
                + ",\"replayed\":"
                + drops.replayed()
                + ",\"unreadable\":"
                + drops.unreadable());
      }
    }
  }

  private static String toJson(MemberUpdate update) {
    return "{\"number\":"
        + update.member().number()
        + ",\"standing\":\""
        + update.state()
        + "\",\"incarnation\":"
        + update.incarnation()
        + ",\"by\":"
        + update.source()
        + ",\"zone\":"
        + update.member().zone()
        + "}";
  }

  private static void writeLine(BufferedWriter out, String event, String fields) {
    String body = event.equals("changed") ? "\"other\":" + fields : fields;
    synchronized (out) {
      try {
        out.write(
            "{\"at\":"
                + System.currentTimeMillis()
                + ",\"what\":\""
                + event
                + "\","
                + body
                + "}\n");
        out.flush();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
