package linengauge.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import linengauge.rules.Verdict;

/** What a drill found: rules, claims and figures, as a table and as JSON. */
public final class Report {
  private record Claim(String what, String wanted, String seen, boolean held) {}

  private final String drill;
  private final long seed;
  private final Map<String, long[]> rules = new LinkedHashMap<>();
  private final List<Claim> claims = new ArrayList<>();
  private final Map<String, Object> figures = new LinkedHashMap<>();
  private final List<String> breaches = new ArrayList<>();

  public Report(String drill, long seed) {
    this.drill = drill;
    this.seed = seed;
  }

  /** Adds what the judge said of one record. */
  public void judged(String record, Verdict verdict) {
    for (String rule : Verdict.RULES) {
      long[] sum = rules.computeIfAbsent(rule, r -> new long[2]);
      sum[0] += verdict.checkCount(rule);
      sum[1] += verdict.breachCount(rule);
    }
    verdict.breaches().stream().limit(40).forEach(b -> breaches.add(record + ": " + b));
  }

  public void claim(String what, String wanted, Object seen, boolean held) {
    claims.add(new Claim(what, wanted, String.valueOf(seen), held));
  }

  public void figure(String name, Object value) {
    figures.put(name, value);
  }

  /**
   * Nothing broken, every claim held; a rule that was not tried does not count as kept, and is a
   * claim's matter.
   */
  public boolean held() {
    return rules.values().stream().allMatch(r -> r[1] == 0)
        && claims.stream().allMatch(Claim::held);
  }

  public void print(PrintStream out) {
    out.printf("drill %s, seed %d%n", drill, seed);
    if (!rules.isEmpty()) {
      out.printf("%n%-18s %9s %7s%n", "rule", "checked", "broken");
      rules.forEach(
          (r, n) ->
              out.printf("%-18s %9d %7s%n", r, n[0], n[0] == 0 && n[1] == 0 ? "untried" : n[1]));
    }
    breaches.forEach(b -> out.println("  broken: " + b));
    out.printf("%n%-6s %-58s %-22s %s%n", "held", "claim", "wanted", "seen");
    claims.forEach(
        c -> out.printf("%-6s %-58s %-22s %s%n", c.held ? "yes" : "NO", c.what, c.wanted, c.seen));
    out.println();
    figures.forEach(
        (k, v) ->
            out.printf(
                "%-36s %s%n",
                k, v instanceof Double d ? String.format(Locale.ROOT, "%.3f", d) : v));
    out.println(held() ? "\nheld" : "\nNOT HELD");
  }

  public void write(Path file) throws IOException {
    ObjectMapper json = new ObjectMapper();
    ObjectNode root =
        json.createObjectNode().put("drill", drill).put("seed", seed).put("held", held());
    ObjectNode of = root.putObject("rules");
    rules.forEach((r, n) -> of.putObject(r).put("checked", n[0]).put("broken", n[1]));
    ObjectNode fs = root.putObject("figures");
    figures.forEach((k, v) -> fs.set(k, json.valueToTree(v)));
    ArrayNode cs = root.putArray("claims");
    claims.forEach(
        c ->
            cs.addObject()
                .put("what", c.what)
                .put("wanted", c.wanted)
                .put("seen", c.seen)
                .put("held", c.held));
    ArrayNode bs = root.putArray("breaches");
    breaches.forEach(bs::add);
    Files.writeString(file, json.writerWithDefaultPrettyPrinter().writeValueAsString(root) + "\n");
  }
}
