package linengauge.rules;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The result of judging a record: how often each rule was checked, and each breach. */
public final class Verdict {
  /** The six rules, under the names that reports use. */
  public static final List<String> RULES =
      List.of(
          "one-answer", "no-double-set-up", "drains", "cold-boxes", "terms", "further-tune-ins");

  /**
   * One breach: its time in microseconds, the viewing or request, the box (0: none), and a
   * description.
   */
  public record Breach(String rule, long at, String viewing, long box, String what) {
    @Override
    public String toString() {
      return String.format(
          java.util.Locale.ROOT,
          "%.3f s %s: %s%s: %s",
          at / 1e6,
          rule,
          viewing,
          box > 0 ? " at box " + box : "",
          what);
    }
  }

  private final Map<String, Integer> checked = new LinkedHashMap<>();
  private final List<Breach> breaches = new ArrayList<>();

  Verdict() {
    RULES.forEach(r -> checked.put(r, 0));
  }

  void countCheck(String rule) {
    checked.merge(rule, 1, Integer::sum);
  }

  void addBreach(String rule, long at, String viewing, long box, String what) {
    breaches.add(new Breach(rule, at, viewing, box, what));
  }

  /** Returns how often the rule was checked; 0 means that the record does not exercise it. */
  public int checkCount(String rule) {
    return checked.get(rule);
  }

  public long breachCount(String rule) {
    return breaches.stream().filter(b -> b.rule.equals(rule)).count();
  }

  public List<Breach> breaches() {
    return List.copyOf(breaches);
  }
}
