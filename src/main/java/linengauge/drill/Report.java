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

/** The results of a drill: rules, claims and figures, as a table and as JSON. */
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

  /** Adds the verdict on one traffic record. */
  public void addVerdict(String record, Verdict verdict) {
    for (String rule : Verdict.RULES) {
      long[] sum = rules.computeIfAbsent(rule, key -> new long[2]);
      sum[0] += verdict.checkCount(rule);
      sum[1] += verdict.breachCount(rule);
    }
    verdict.breaches().stream().limit(40).forEach(breach -> breaches.add(record + ": " + breach));
  }

  public void addClaim(String what, String wanted, Object seen, boolean held) {
    claims.add(new Claim(what, wanted, String.valueOf(seen), held));
  }

  public void addFigure(String name, Object value) {
    figures.put(name, value);
  }

  /**
   * Returns whether no rule is broken and every claim holds. A rule that was not exercised does not
   * count as kept; a claim has to require that it was.
   */
  public boolean hasPassed() {
    return rules.values().stream().allMatch(counts -> counts[1] == 0)
        && claims.stream().allMatch(Claim::held);
  }

  public void print(PrintStream out) {
    out.printf("drill %s, seed %d%n", drill, seed);
    if (!rules.isEmpty()) {
      out.printf("%n%-18s %9s %7s%n", "rule", "checked", "broken");
      rules.forEach(
          (rule, counts) ->
              out.printf(
                  "%-18s %9d %7s%n",
                  rule, counts[0], counts[0] == 0 && counts[1] == 0 ? "untried" : counts[1]));
    }
    breaches.forEach(breach -> out.println("  broken: " + breach));
    out.printf("%n%-6s %-58s %-22s %s%n", "held", "claim", "wanted", "seen");
    claims.forEach(
        claim ->
            out.printf(
                "%-6s %-58s %-22s %s%n",
                claim.held ? "yes" : "NO", claim.what, claim.wanted, claim.seen));
    out.println();
    figures.forEach(
        (key, v) ->
            out.printf(
                "%-36s %s%n",
                key, v instanceof Double d ? String.format(Locale.ROOT, "%.3f", d) : v));
    out.println(hasPassed() ? "\nheld" : "\nNOT HELD");
  }

  public void write(Path file) throws IOException {
    ObjectMapper json = new ObjectMapper();
    ObjectNode root =
        json.createObjectNode().put("drill", drill).put("seed", seed).put("held", hasPassed());
    ObjectNode rulesNode = root.putObject("rules");
    rules.forEach(
        (rule, counts) ->
            rulesNode.putObject(rule).put("checked", counts[0]).put("broken", counts[1]));
    ObjectNode figuresNode = root.putObject("figures");
    figures.forEach((key, v) -> figuresNode.set(key, json.valueToTree(v)));
    ArrayNode claimsNode = root.putArray("claims");
    claims.forEach(
        claim ->
            claimsNode
                .addObject()
                .put("what", claim.what)
                .put("wanted", claim.wanted)
                .put("seen", claim.seen)
                .put("held", claim.held));
    ArrayNode breachesNode = root.putArray("breaches");
    breaches.forEach(breachesNode::add);
    Files.writeString(file, json.writerWithDefaultPrettyPrinter().writeValueAsString(root) + "\n");
  }
}
