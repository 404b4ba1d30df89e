package linengauge.scale;

import java.util.LinkedHashMap;
import java.util.Map;
import linengauge.Span;
import linengauge.scale.hollow.HollowEvent;
import linengauge.scale.hollow.HollowEvent.Direction;

/** Events of hollow fleets by the names that the command line takes. */
public final class NamedHollowEvents {
  private static final Span LASTING = Span.ofSeconds(30);
  private static final int TENTH = 10;

  private NamedHollowEvents() {}

  /** All of them, in the order in which help shows them. */
  public static Map<String, HollowEvent> all() {
    Map<String, HollowEvent> events = new LinkedHashMap<>();
    events.put("restart-tenth", new HollowEvent.RestartFronts(TENTH));
    events.put("kill-process", new HollowEvent.KillProcess(0));
    events.put("freeze-region", new HollowEvent.FreezeRegion(0, LASTING));
    events.put("cut-region", new HollowEvent.CutRegion(1, Direction.BOTH, LASTING));
    events.put("cut-region-in", new HollowEvent.CutRegion(1, Direction.IN, LASTING));
    events.put("cut-region-out", new HollowEvent.CutRegion(1, Direction.OUT, LASTING));
    events.put("kill-leader", new HollowEvent.KillLeader());
    events.put("freeze-leader", new HollowEvent.FreezeLeader(LASTING));
    return events;
  }
}
