package linengauge.rehearsal;

import linengauge.Moment;

/** A process that takes part: what comes to it are events, run one after another. */
interface SimulatedProcess {
  /** Something comes; it is dropped where the process has died. */
  void deliver(Runnable deed);

  /** Where the process is in time: ahead of the world's clock while it is at work on an event. */
  Moment now();

  /** One that takes no time over anything and never dies: all stand-ins. */
  static SimulatedProcess instantaneous(VirtualClock clock) {
    return new SimulatedProcess() {
      @Override
      public void deliver(Runnable deed) {
        deed.run();
      }

      @Override
      public Moment now() {
        return clock.now();
      }
    };
  }
}
