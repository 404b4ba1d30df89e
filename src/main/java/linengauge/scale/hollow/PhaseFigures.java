package linengauge.scale.hollow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import linengauge.scale.hollow.HollowFigures.ControlLoad;
import linengauge.scale.hollow.HollowFigures.FrontLoad;
import linengauge.scale.hollow.HollowFigures.Rate;

/** Makes figures of the samples of one phase. */
final class PhaseFigures {
  private static final double MS = 1000;

  /** Shorter pairs say too little of a highest second. */
  private static final double LEAST_SECONDS = 0.1;

  /** One process between two of its samples. */
  private record Step(HollowSample from, HollowSample to) {
    double seconds() {
      return (to.at() - from.at()) / MS;
    }

    double frontSeconds() {
      return to.fronts() * seconds();
    }

    HollowSample.Traffic traffic() {
      return to.traffic().minus(from.traffic());
    }
  }

  private final long from;
  private final long until;

  PhaseFigures(long from, long until) {
    this.from = from;
    this.until = until;
  }

  double seconds() {
    return (until - from) / MS;
  }

  private static List<Step> steps(List<HollowSample> samples) {
    List<Step> steps = new ArrayList<>();
    for (int i = 1; i < samples.size(); i++) {
      steps.add(new Step(samples.get(i - 1), samples.get(i)));
    }
    return steps;
  }

  /**
   * What a front cost.
   *
   * @param heapUntil until when a sample with the heap may have come
   */
  FrontLoad fronts(List<HollowProcess> processes, long heapUntil) {
    List<Step> steps = new ArrayList<>();
    processes.forEach(p -> steps.addAll(steps(p.samples(from, until))));
    return new FrontLoad(
        rate(steps, step -> step.traffic().sentBytes()),
        rate(steps, step -> step.traffic().receivedBytes()),
        rate(steps, step -> step.traffic().sent()),
        rate(steps, step -> step.traffic().received()),
        rate(steps, step -> step.traffic().wireBytes()),
        highestFront(steps),
        rate(steps, step -> step.to().processorMillis() - step.from().processorMillis()),
        heapKb(processes, heapUntil),
        residentKb(processes),
        followerBytes(steps));
  }

  private static Rate rate(List<Step> steps, ToDoubleFunction<Step> amount) {
    double all = 0;
    double frontSeconds = 0;
    Map<Long, double[]> bySecond = new HashMap<>();
    for (Step step : steps) {
      double of = amount.applyAsDouble(step);
      all += of;
      frontSeconds += step.frontSeconds();
      double[] second = bySecond.computeIfAbsent(step.to().at() / (long) MS, s -> new double[2]);
      second[0] += of;
      second[1] += step.frontSeconds();
    }
    double fullest = bySecond.values().stream().mapToDouble(s -> s[1]).max().orElse(0);
    double highest =
        bySecond.values().stream()
            .filter(s -> s[1] > fullest / 2)
            .mapToDouble(s -> s[0] / s[1])
            .max()
            .orElse(0);
    return new Rate(frontSeconds == 0 ? 0 : all / frontSeconds, highest);
  }

  private static double highestFront(List<Step> steps) {
    return steps.stream()
        .filter(step -> step.seconds() >= LEAST_SECONDS)
        .mapToDouble(step -> step.to().highestFrontBytes() / Math.max(1, step.seconds()))
        .max()
        .orElse(0);
  }

  private double heapKb(List<HollowProcess> processes, long heapUntil) {
    double all = 0;
    int fronts = 0;
    for (HollowProcess process : processes) {
      for (HollowSample sample : process.samples(from, heapUntil)) {
        if (sample.heapKb() >= 0) {
          all += sample.heapKb();
          fronts += sample.fronts();
        }
      }
    }
    return fronts == 0 ? -1 : all / fronts;
  }

  private double residentKb(List<HollowProcess> processes) {
    double all = 0;
    int fronts = 0;
    for (HollowProcess process : processes) {
      List<HollowSample> samples = process.samples(from, until);
      if (!samples.isEmpty()) {
        HollowSample last = samples.get(samples.size() - 1);
        all += last.residentKb();
        fronts += last.fronts();
      }
    }
    return fronts == 0 ? -1 : all / fronts;
  }

  private static double followerBytes(List<Step> steps) {
    double bytes = 0;
    double followerSeconds = 0;
    for (Step step : steps) {
      bytes += step.to().logBytes() - step.from().logBytes();
      followerSeconds += step.to().followers() * step.seconds();
    }
    return followerSeconds == 0 ? 0 : bytes / followerSeconds;
  }

  /** What each control machine cost; those that said nothing in the phase are left out. */
  List<ControlLoad> controls(List<HollowProcess> processes, int leader, long heapUntil) {
    List<ControlLoad> loads = new ArrayList<>();
    for (HollowProcess process : processes) {
      List<HollowSample> samples = process.samples(from, until);
      if (samples.size() > 1) {
        Step whole = new Step(samples.get(0), samples.get(samples.size() - 1));
        loads.add(control(process, whole, leader, heapUntil));
      }
    }
    return loads;
  }

  private ControlLoad control(HollowProcess process, Step whole, int leader, long heapUntil) {
    double seconds = whole.seconds();
    HollowSample.Traffic traffic = whole.traffic();
    double heap =
        process.samples(from, heapUntil).stream()
            .mapToDouble(HollowSample::heapKb)
            .filter(kb -> kb >= 0)
            .max()
            .orElse(-1);
    return new ControlLoad(
        process.spec().index(),
        process.spec().index() == leader,
        traffic.sentBytes() / seconds,
        traffic.receivedBytes() / seconds,
        traffic.sent() / seconds,
        traffic.received() / seconds,
        (whole.to().logBytes() - whole.from().logBytes()) / seconds,
        (whole.to().processorMillis() - whole.from().processorMillis()) / seconds,
        heap,
        whole.to().residentKb());
  }

  /** Drops of that time, by cause, all processes together. */
  Map<String, Long> drops(List<HollowProcess> processes) {
    Map<String, Long> all = new TreeMap<>();
    for (HollowProcess process : processes) {
      List<HollowSample> samples = process.samples(from, until);
      if (samples.size() > 1) {
        HollowSample first = samples.get(0);
        HollowSample last = samples.get(samples.size() - 1);
        last.drops()
            .forEach(
                (cause, count) ->
                    all.merge(cause, count - first.drops().getOrDefault(cause, 0L), Long::sum));
      }
    }
    return all;
  }
}
