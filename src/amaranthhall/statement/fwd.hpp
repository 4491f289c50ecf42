#pragma once

namespace amaranthhall::statement {

class Classifier;
struct Classification;

}
