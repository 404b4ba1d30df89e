package linengauge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import linengauge.scale.ScaleResult;
import linengauge.scale.ScaleResult.Completeness;
import linengauge.scale.ScaleResultFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against exit codes and result files that do not match the outcome of a command. */
@Timeout(120)
class ScaleCommandsTest {
  private static final String PAGE = "# Page\n<!-- table: membership-gossip -->\n<!-- end -->\n";

  @TempDir private Path folder;

  private static int scale(Object... arguments) {
    String[] all = new String[arguments.length + 1];
    all[0] = "scale";
    for (int i = 0; i < arguments.length; i++) {
      all[i + 1] = arguments[i].toString();
    }
    return Commands.run(all);
  }

  private int simulate(Path out, Object... more) {
    List<Object> arguments = new java.util.ArrayList<>(List.of("simulate", "--out", out));
    arguments.addAll(List.of(more));
    return scale(arguments.toArray());
  }

  @Test
  void sameSeedsRecordSameTraffic() throws Exception {
    Path first = folder.resolve("results/first.json");
    Path second = folder.resolve("second.json");
    Object[] plan = {"--mechanism", "gossip", "--sizes", "10,14", "--seeds", 2, "--event", "quiet"};
    // when
    assertEquals(0, simulate(first, plan));
    assertEquals(0, simulate(second, plan));
    // then
    ScaleResult result = ScaleResultFile.read(first);
    assertEquals(Completeness.COMPLETE, result.completeness());
    assertEquals(List.of(1L, 2L), result.seeds());
    assertTrue(result.command().startsWith("linengauge scale simulate --out"), result.command());
    assertTrue(
        result.measurements().stream().allMatch(measurement -> measurement.values().size() == 2));
    assertEquals(traffic(result), traffic(ScaleResultFile.read(second)));
    assertFalse(traffic(result).isEmpty());
  }

  /** Returns the measured traffic; processor time differs between runs on the same seeds. */
  private static List<Object> traffic(ScaleResult result) {
    return List.copyOf(
        result.measurements().stream()
            .filter(measurement -> measurement.quantity().startsWith("bytes"))
            .toList());
  }

  @Test
  void invalidArgumentsAreRejectedBeforeStart() {
    Path out = folder.resolve("none.json");
    assertEquals(2, simulate(out, "--mechanism", "gossip", "--sizes", "10,4000000"));
    assertEquals(2, simulate(out, "--mechanism", "gossip", "--sizes", "0"));
    assertEquals(2, simulate(out, "--mechanism", "rumour", "--sizes", "10"));
    assertEquals(2, simulate(out, "--mechanism", "gossip", "--sizes", "10", "--event", "flood"));
    assertEquals(2, simulate(out, "--mechanism", "gossip", "--sizes", "10", "--seeds", 0));
    assertEquals(2, scale("fronts", "--load", "connections", "--out", out));
    assertEquals(
        2, scale("fronts", "--load", "connections", "--out", out, "--sizes", "10,4000000"));
    assertEquals(
        2, scale("fronts", "--load", "messages", "--out", out, "--sizes", 1, "--deploy", "/none"));
    assertEquals(2, scale("following", "--sizes", "10,601", "--out", out));
    assertEquals(2, scale("following", "--sizes", "0", "--out", out));
    assertEquals(2, scale("following", "--sizes", "5", "--changes-a-minute", 601, "--out", out));
    assertFalse(Files.exists(out), "no result file is created");
  }

  @Test
  void tablesArePrintedAndChecked() throws Exception {
    // given
    Path page = folder.resolve("page.md");
    Path results = folder.resolve("results");
    Path result = results.resolve("gossip.json");
    Files.writeString(page, PAGE);
    simulate(result, "--mechanism", "gossip", "--sizes", "10", "--seeds", 1, "--event", "quiet");
    Object[] check = {"tables", "--page", page, "--results", results, "--check"};
    // when, then: an outdated page differs, a freshly printed one does not
    assertEquals(1, scale(check));
    assertEquals(PAGE, Files.readString(page), "a check writes nothing");
    assertEquals(0, scale("tables", "--page", page, "--results", results));
    assertEquals(0, scale(check));
    // an edited page, an edited result, a damaged result, a missing page
    String printed = Files.readString(page);
    Files.writeString(page, printed.replaceFirst("10 fronts", "11 fronts"));
    assertEquals(1, scale(check));
    Files.writeString(page, printed);
    String json = Files.readString(result);
    Files.writeString(result, json.replaceFirst("\"values\" : \\[ ", "\"values\" : [ 9"));
    assertEquals(1, scale(check));
    Files.writeString(result, json.substring(9));
    assertEquals(2, scale(check));
    Files.writeString(result, json);
    Files.delete(page);
    assertEquals(2, scale(check));
  }

  @Test
  void fitAcceptsOnlyValidFiles() throws Exception {
    Path result = folder.resolve("gossip.json");
    simulate(result, "--mechanism", "gossip", "--sizes", "10,14", "--seeds", 1);
    assertEquals(0, scale("fit", result));
    Files.writeString(result, "{\"version\" : 2}");
    assertEquals(2, scale("fit", result));
    assertEquals(2, scale("fit", folder.resolve("none.json")));
    assertEquals(2, scale("fit"));
    assertEquals(2, scale());
  }
}
