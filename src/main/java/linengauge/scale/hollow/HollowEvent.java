package linengauge.scale.hollow;

import linengauge.Span;

/** What happens to a fleet of hollow fronts. */
public sealed interface HollowEvent {
  /** For reports. */
  String name();

  /** So many of a hundred fronts, spread over all processes, begin another life at once. */
  record RestartFronts(int percent) implements HollowEvent {
    @Override
    public String name() {
      return "restart-" + percent + "-percent";
    }
  }

  /** A process of fronts is killed, as a rack that loses power; for good. */
  record KillProcess(int process) implements HollowEvent {
    @Override
    public String name() {
      return "kill-process";
    }
  }

  /** All processes of a region stand still for so long, its control machines too. */
  record FreezeRegion(int region, Span lasting) implements HollowEvent {
    @Override
    public String name() {
      return "freeze-region";
    }
  }

  /** Which way a region is cut. */
  enum Direction {
    IN,
    OUT,
    BOTH
  }

  /** Datagrams between a region and all others are lost for so long, and its log's connections. */
  record CutRegion(int region, Direction direction, Span lasting) implements HollowEvent {
    @Override
    public String name() {
      return "cut-region-" + direction.name().toLowerCase(java.util.Locale.ROOT);
    }
  }

  /** The control machine that leads is killed; for good. */
  record KillLeader() implements HollowEvent {
    @Override
    public String name() {
      return "kill-leading-control-machine";
    }
  }

  /** The control machine that leads stands still for so long. */
  record FreezeLeader(Span lasting) implements HollowEvent {
    @Override
    public String name() {
      return "freeze-leading-control-machine";
    }
  }
}
