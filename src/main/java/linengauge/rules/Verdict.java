package linengauge.rules;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What the judge says of a record: for each rule how often it was tried and each breach. */
public final class Verdict {
  /** The six rules, by the names under which reports give them. */
  public static final List<String> RULES =
      List.of(
          "one-answer", "no-double-set-up", "drains", "cold-boxes", "terms", "further-tune-ins");

  /** One breach: when (microseconds), of which viewing or ask, at which box (0: none), and what. */
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

  /** How often the rule was tried; 0: the record says nothing of it. */
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
